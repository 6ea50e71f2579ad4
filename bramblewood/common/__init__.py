"""Modules for proxies and controllers: settings, configurations, connections, messages, logs and errors."""
