"""Work that is done once for the whole fleet: who may do it, what must outlive them, and the work itself.

Off unless settings name it (`duties`). No generation waits for any of it.
"""
