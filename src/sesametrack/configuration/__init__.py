"""The accepted configuration, its parts and its local copies."""
