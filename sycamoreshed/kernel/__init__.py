"""The plug-in kernel, registries of functions, and time limits."""
