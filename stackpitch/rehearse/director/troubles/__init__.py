"""The troubles of a day, each kind brought by the module that knows whom it strikes."""
