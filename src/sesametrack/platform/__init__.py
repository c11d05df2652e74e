"""Adapter to the platform: translates its wire formats, decides nothing."""
