"""A front for a language-model service whose prompts are read and answers written on different servers."""
