"""Every order of events at the smallest sizes, and bugs that it finds there. Larger ones: `make explore`."""

import pytest

from stackpitch.rehearse.exploring.search import Size, explore


def test_two_voters_and_two_candidates_to_the_end():
    found = explore(Size(voters=2, acts=0, restarts=0))
    assert found.whole and found.story is None and found.states > 4000 and found.depth > 30


@pytest.mark.parametrize(
    "bug,said,size",
    [
        ("hasty", "hold a lease at one time", Size(voters=1)),
        ("late lease", "hold a lease at one time", Size(voters=1, restarts=0)),
        ("disturbs", "hold a lease at one time", Size(voters=1, acts=0, restarts=0)),
        ("no fence", "was taken after", Size(voters=1, acts=0, restarts=0)),
        ("late writes", "was lost", Size(voters=1, restarts=0)),
    ],
)
def test_a_bug_put_in_on_purpose_is_told_by_its_shortest_story(bug, said, size):
    found = explore(size, frozenset({bug}))
    assert found.story is not None and said in found.story[-1] and "campaigns" in found.story[0]
