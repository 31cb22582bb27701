"""How a change and its verdicts go from the owner to the gateways: the change in one call, verdicts in pages."""

from stackpitch.duties.vocabulary.carrying.pages import Page, Pages, Tell, paged

__all__ = ["Page", "Pages", "Tell", "paged"]
