"""Files that a crash at any byte leaves whole: what the store of lists and the voters' promises share."""
