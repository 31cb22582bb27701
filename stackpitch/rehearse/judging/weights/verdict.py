"""W1 to W4 for one day."""

from dataclasses import dataclass

from stackpitch.loop import MS, SECOND, Time
from stackpitch.rehearse.judging import acts, lives
from stackpitch.rehearse.judging.weights import capacity, country, places, service, transfers
from stackpitch.rehearse.judging.weights.able import Able
from stackpitch.rehearse.judging.weights.order import Order
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

CAPACITY, ORDER, PLACES, SERVICE = 21, 22, 23, 24
NAMES = {CAPACITY: "W1", ORDER: "W2", PLACES: "W3", SERVICE: "W4"}
WORDS = {
    CAPACITY: "links within capacity and burst",
    ORDER: "higher classes before lower",
    PLACES: "in place: byte for byte the origin's",
    SERVICE: "in service once in place and allowed",
}


@dataclass(frozen=True, slots=True)
class WeightsFigures:
    """`burst`: see W1; `told`: from an edit of the file until every gateway has read it; `place`: see W3."""

    burst: Time = 250 * MS
    place: Time = 25 * SECOND
    told: Time = 2 * SECOND + 300 * MS


def judge_weights(records: list[Record], figures: WeightsFigures, names: dict[str, int]) -> list[Breach]:
    """`records` by time; `names`: of gateways, with their numbers."""
    land = country.read(records)
    if not land.editions:
        return []
    passed = transfers.read(records, land)
    able = Able(records, acts.read(records), lives.read(records, names), land)
    return [
        *capacity.over(passed, land, figures.told, figures.burst, CAPACITY),
        *Order(passed, land, able, records, figures.told).verdict(ORDER),
        *places.wrong(records, land, PLACES),
        *places.missing(records, land, figures.place, PLACES),
        *service.early(records, land, SERVICE),
    ]
