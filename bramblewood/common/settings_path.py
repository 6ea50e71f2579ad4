"""Where the settings file is, apart from its reading: the early listeners need this before anything heavy."""

SETTINGS_PATH_VARIABLE = "BRAMBLEWOOD_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/bramblewood/boot.toml"
