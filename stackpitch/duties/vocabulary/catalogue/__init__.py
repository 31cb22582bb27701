"""Vocabularies from files in the published tokenizer.json form, known by a digest of what they say."""

from stackpitch.duties.vocabulary.catalogue.listing import Listing, read_listing
from stackpitch.duties.vocabulary.catalogue.reading import digest_of, read_vocabulary, vocabulary
from stackpitch.duties.vocabulary.catalogue.vocabulary import Role, Vocabulary

__all__ = ["Listing", "Role", "Vocabulary", "digest_of", "read_listing", "read_vocabulary", "vocabulary"]
