"""An extra rule on which servers a generation may go to, for servers with several vocabularies.

Token ids go only to servers whose vocabulary they are written in or translated to, and KV state only to
writers with the vocabulary of its reader. An engine that has changed its vocabulary meanwhile refuses
such a leg before it runs (`x-vocabulary`).
"""

from collections.abc import Mapping

from stackpitch.gateway.client_request import ClientRequest, OpenAIRequest
from stackpitch.gateway.roster import Roster
from stackpitch.interface import Generation, Server


class VocabularyFilter:
    """`requests`: the host's.

    `writer_vocabularies`: those of the ready writers, with the list that they are from.
    """

    def __init__(self, roster: Roster, requests: Mapping[Generation, ClientRequest]) -> None:
        self.roster, self.requests = roster, requests
        self.writer_vocabularies: tuple[int, frozenset[str]] = (-1, frozenset())

    def _listed_writers(self) -> frozenset[str]:
        """The vocabularies of the ready writers of the list in force."""
        if self.writer_vocabularies[0] != self.roster.lists_applied:
            vocabularies = self.roster.vocabularies
            self.writer_vocabularies = (
                self.roster.lists_applied,
                frozenset(
                    vocabularies.get(server, "")
                    for server in self.roster.servers.values()
                    if server.role != "reader" and server.state == "ready"
                ),
            )
        return self.writer_vocabularies[1]

    def allows(self, gen: Generation, server: Server) -> bool:
        """Whether the generation's next leg may go to this server."""
        vocabularies = self.roster.vocabularies
        vocabulary, request = vocabularies.get(server, ""), self.requests.get(gen)
        if (
            isinstance(request, OpenAIRequest)
            and request.token_fields is not None
            and vocabulary not in request.token_fields
        ):
            return False
        if server.role == "reader":
            return vocabulary in self._listed_writers()
        reader = next(
            (
                leg.server
                for leg in reversed(gen.legs)
                if leg.server.role == "reader" and leg.outcome in (None, "read")
            ),
            None,
        )
        return reader is None or vocabularies.get(reader, "") == vocabulary
