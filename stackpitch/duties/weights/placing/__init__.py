"""Files of a site's models on its disk: pieces into a partial file, the whole checked, synced, renamed into place."""
