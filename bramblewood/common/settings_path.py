"""The path of the settings file, in a module that `listeners` can import without the settings parser."""

SETTINGS_PATH_VARIABLE = "BRAMBLEWOOD_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/bramblewood/boot.toml"
