"""The command line, one file a group of commands; what a command needs is imported when it runs."""
