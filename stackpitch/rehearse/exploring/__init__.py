"""Every order of events for a few voters and candidates: the real pure modules of ownership and record, breadth first.

    python -m stackpitch.rehearse.exploring --candidates 2 --terms 2

Calls may be lost, late, repeated and overtaken: a request that was sent may be delivered at any later time, any number of
times. Processes stop between any look and send (the send is then a late call), voters restart and lose their files, time
passes at any point. A breach is told as the shortest story.
"""
