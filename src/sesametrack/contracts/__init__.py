"""Typed messages, settings, inventory, rules, answers and errors."""
