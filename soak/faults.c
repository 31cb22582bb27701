/* Faults of system calls, of the wall clock and of the disk, for a process that is started with this library
 * preloaded.
 *
 * The environment variable FAULTS_CONTROL names a file that is mapped shared: whoever started the process writes
 * rates into it while the process runs, and reads how many faults were injected. The layout is that of
 * `struct control`; soak/shim.py writes it. Without that file nothing is changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum kind { SHORT_IO, ACCEPT, SOCKET, CONNECT, WAIT, OPEN, READ, WRITE, SYNC, HALF_WRITE, BROKEN_IO, KINDS };

struct control {
    uint64_t seed;
    int64_t wall_ms;           /* added to the wall clock */
    uint32_t per_mille[KINDS]; /* how often a call of that kind meets its fault */
    uint32_t injected[KINDS];  /* how often it did */
};

static struct control *control;
static const char *files; /* of the disk, only paths that hold this text fail; all where it is not given */
static _Atomic uint64_t state;

static const int ACCEPT_ERRORS[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM,
                                    ENETDOWN,     ENETUNREACH, EHOSTUNREACH, EINTR, ETIMEDOUT};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EHOSTUNREACH, EAGAIN, ENOMEM};
static const int BROKEN_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENETUNREACH};
static const int OPEN_ERRORS[] = {ENFILE, EMFILE, EIO, ENOSPC};
static const int WRITE_ERRORS[] = {ENOSPC, EIO, EDQUOT};

static uint64_t drawn(void) {
    uint64_t z = atomic_fetch_add(&state, 0x9E3779B97F4A7C15u) + 0x9E3779B97F4A7C15u;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9u;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBu;
    return z ^ (z >> 31);
}

static int strikes(enum kind kind) {
    if (control == NULL || control->per_mille[kind] == 0 || drawn() % 1000 >= control->per_mille[kind])
        return 0;
    __atomic_fetch_add(&control->injected[kind], 1, __ATOMIC_RELAXED);
    return 1;
}

#define ONE_OF(list) ((list)[drawn() % (sizeof(list) / sizeof((list)[0]))])
/* The C library's own function of that name, as `next`. */
#define NEXT(function) \
    static __typeof__(&function) next; \
    if (next == NULL) \
        next = (__typeof__(&function))dlsym(RTLD_NEXT, #function)

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULTS_CONTROL");
    files = getenv("FAULTS_FILES");
    int descriptor = path == NULL ? -1 : (int)openat(AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        return;
    void *found = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (found == MAP_FAILED)
        return;
    state = ((struct control *)found)->seed;
    control = found;
}

static size_t cut(size_t length) {
    if (length < 2 || !strikes(SHORT_IO))
        return length;
    size_t part = 1 + drawn() % 40;
    return part < length ? part : length;
}

static int is_connected_tcp(int descriptor) {
    int kind = 0;
    socklen_t size = sizeof(kind);
    return getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &kind, &size) == 0 && kind == AF_INET;
}

/* A connection that broke stays broken: the other side sees its end as well. */
static int breaks(int descriptor) {
    if (control == NULL || control->per_mille[BROKEN_IO] == 0 || !is_connected_tcp(descriptor) || !strikes(BROKEN_IO))
        return 0;
    shutdown(descriptor, SHUT_RDWR);
    errno = ONE_OF(BROKEN_ERRORS);
    return 1;
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags) {
    NEXT(recv);
    if (breaks(descriptor))
        return -1;
    return next(descriptor, buffer, cut(length), flags);
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags) {
    NEXT(send);
    if (breaks(descriptor))
        return -1;
    return next(descriptor, buffer, cut(length), flags);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    NEXT(accept4);
    if (strikes(ACCEPT)) {
        errno = ONE_OF(ACCEPT_ERRORS);
        return -1;
    }
    return next(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    if (domain == AF_INET && strikes(SOCKET)) {
        errno = ONE_OF(SOCKET_ERRORS);
        return -1;
    }
    return next(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    NEXT(connect);
    if (address->sa_family == AF_INET && strikes(CONNECT)) {
        errno = ONE_OF(CONNECT_ERRORS);
        if (errno == EINTR) { /* the connection comes about all the same */
            next(descriptor, address, size);
            errno = EINTR;
        }
        return -1;
    }
    return next(descriptor, address, size);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    NEXT(epoll_wait);
    if (strikes(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return next(descriptor, events, most, timeout);
}

/* Files: only those that are opened to be written count as kept ones; programs and their modules are spared. */
static int opens_to_write(int flags) {
    return (flags & O_ACCMODE) != O_RDONLY;
}

static int opened(const char *name, int folder, const char *path, int flags, mode_t mode) {
    int (*next)(int, const char *, int, ...) = (int (*)(int, const char *, int, ...))dlsym(RTLD_NEXT, name);
    if (opens_to_write(flags) && (files == NULL || strstr(path, files) != NULL) && strikes(OPEN)) {
        errno = ONE_OF(OPEN_ERRORS);
        return -1;
    }
    return next(folder, path, flags, mode);
}

#define WITH_MODE(flags) \
    mode_t mode = 0; \
    if ((flags) & (O_CREAT | O_TMPFILE)) { \
        va_list rest; \
        va_start(rest, flags); \
        mode = va_arg(rest, mode_t); \
        va_end(rest); \
    }

int open(const char *path, int flags, ...) {
    WITH_MODE(flags)
    return opened("openat", AT_FDCWD, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    WITH_MODE(flags)
    return opened("openat64", AT_FDCWD, path, flags, mode);
}

static int is_named(int descriptor) {
    char link[64], path[4096];
    if (files == NULL)
        return 1;
    snprintf(link, sizeof(link), "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof(path) - 1);
    if (length < 0)
        return 0;
    path[length] = 0;
    return strstr(path, files) != NULL;
}

static int written_file(int descriptor) {
    int flags = fcntl(descriptor, F_GETFL);
    struct stat found;
    return flags >= 0 && opens_to_write(flags) && fstat(descriptor, &found) == 0 && S_ISREG(found.st_mode) &&
           is_named(descriptor);
}

static int disk_fault(int descriptor, enum kind kind) {
    return control != NULL && control->per_mille[kind] != 0 && written_file(descriptor) && strikes(kind);
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    NEXT(write);
    if (disk_fault(descriptor, WRITE)) {
        errno = ONE_OF(WRITE_ERRORS);
        return -1;
    }
    if (length > 1 && disk_fault(descriptor, HALF_WRITE))
        length = 1 + drawn() % (length - 1);
    return next(descriptor, buffer, length);
}

static ssize_t placed_write(const char *name, int descriptor, const void *buffer, size_t length, off_t at) {
    ssize_t (*next)(int, const void *, size_t, off_t) =
        (ssize_t (*)(int, const void *, size_t, off_t))dlsym(RTLD_NEXT, name);
    if (disk_fault(descriptor, WRITE)) {
        errno = ONE_OF(WRITE_ERRORS);
        return -1;
    }
    if (length > 1 && disk_fault(descriptor, HALF_WRITE))
        length = 1 + drawn() % (length - 1);
    return next(descriptor, buffer, length, at);
}

ssize_t pwrite(int descriptor, const void *buffer, size_t length, off_t at) {
    return placed_write("pwrite", descriptor, buffer, length, at);
}

ssize_t pwrite64(int descriptor, const void *buffer, size_t length, off_t at) {
    return placed_write("pwrite64", descriptor, buffer, length, at);
}

static ssize_t placed_read(const char *name, int descriptor, void *buffer, size_t length, off_t at) {
    ssize_t (*next)(int, void *, size_t, off_t) = (ssize_t (*)(int, void *, size_t, off_t))dlsym(RTLD_NEXT, name);
    if (disk_fault(descriptor, READ)) {
        errno = EIO;
        return -1;
    }
    if (length > 1 && disk_fault(descriptor, HALF_WRITE))
        length = 1 + drawn() % (length - 1);
    return next(descriptor, buffer, length, at);
}

ssize_t pread(int descriptor, void *buffer, size_t length, off_t at) {
    return placed_read("pread", descriptor, buffer, length, at);
}

ssize_t pread64(int descriptor, void *buffer, size_t length, off_t at) {
    return placed_read("pread64", descriptor, buffer, length, at);
}

/* A failed sync has dropped what was to be written: a second one says nothing of it. */
int fdatasync(int descriptor) {
    NEXT(fdatasync);
    if (is_named(descriptor) && strikes(SYNC)) {
        errno = EIO;
        return -1;
    }
    return next(descriptor);
}

int fsync(int descriptor) {
    NEXT(fsync);
    if (is_named(descriptor) && strikes(SYNC)) {
        errno = EIO;
        return -1;
    }
    return next(descriptor);
}

int clock_gettime(clockid_t clock, struct timespec *found) {
    NEXT(clock_gettime);
    int result = next(clock, found);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL && control->wall_ms != 0) {
        int64_t all = (int64_t)found->tv_sec * 1000000000 + found->tv_nsec + control->wall_ms * 1000000;
        found->tv_sec = all / 1000000000;
        found->tv_nsec = all % 1000000000;
    }
    return result;
}
