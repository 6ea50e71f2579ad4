"""What proxies and controllers share: settings, configurations, connections between them, logs, errors."""
