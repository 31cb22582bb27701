"""Stores model files on a site's disk: pieces go into a partial file, which is checked, synced and renamed into place."""
