"""Administration API: several teams change their own services over HTTP."""
