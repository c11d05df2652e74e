"""Stand-ins for the scripts of the second review: store, searchers, clients.

They follow the users' pages and need the standard library only. Routers are
the project's own programs, started with the command of the deploy file.
"""
