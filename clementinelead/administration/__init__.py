"""Administration API: teams manage their own services over HTTP."""
