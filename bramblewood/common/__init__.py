"""What the desk and the archive share: settings, configurations, messages, links, logs."""
