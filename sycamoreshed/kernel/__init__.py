"""The kernel and the registry of its plug-ins."""
