"""The verdict on weights, from what the origin, the network between gateways and the director recorded. Pure.

W1 capacity   bytes over each link in any second are within its capacity and a stated burst
W2 order      no byte of a lower class over a shared link while a higher one could have used it, but for one grant's time
W3 places     what is in place is byte for byte the origin's, and what was long wanted is in place at the end
W4 service    a version goes into service at a site once it is in place there and its vocabulary's change is allowed
"""

from stackpitch.rehearse.judging.weights.verdict import NAMES, WORDS, WeightsFigures, judge_weights

__all__ = ["NAMES", "WORDS", "WeightsFigures", "judge_weights"]
