Feature: The command line: every command is listed, and earlier names still work

  Scenario: The overview lists every command with the first sentence of its help, whichever libraries are there
    Then the overview lists every command of the gateway and of the manager with its summary
    And the overview is printed without click and without typer

  Scenario Outline: A program in service imports none of the other commands
    Then a start of "<program>" imports of the commands only "<modules>"

    Examples:
      | program    | modules                            |
      | proxy      | exit_codes options output programs |
      | desk       | exit_codes options output programs |
      | controller | exit_codes options output programs |
      | archive    | exit_codes options output programs |

  Scenario: A proxy's listeners are opened before the rest is imported, by both of its names
    Then "proxy" and "desk" open their listeners early, and "controller" opens none

  Scenario: Commands that ask a controller print what releases before the present names printed
    Given a controller that shows fixed views
    When these commands are called, each by its present and its earlier name
      | present                                | earlier                             |
      | workers                                | roll                                |
      | workers --json                         | roll --json                         |
      | leases                                 | holds                               |
      | leases --json                          | holds --json                        |
      | drain show                             | withdraw show                       |
      | drain show --json                      | withdraw show --json                |
      | drain show night --wait 0.1            | withdraw show night --wait 0.1      |
      | drain show none                        | withdraw show none                  |
      | drain plan --service s --zone z        | withdraw plan --service s --zone z  |
      | drain start night --service s --json   | withdraw start night --service s --json |
      | drain stop night                       | withdraw stop night                 |
      | drain back refused                     | withdraw back refused               |
      | sessions                               | sessions                            |
      | sessions --json                        | sessions --json                     |
      | config history                         | config history                      |
      | explain h /a/1 --key 7                 | explain h /a/1 --key 7              |
      | explain h /a/1 --key 40000 --json      | explain h /a/1 --key 40000 --json   |
      | explain h /a/1                         | explain h /a/1                      |
      | explain h /b/1 --id x                  | explain h /b/1 --id x               |
      | explain h /c                           | explain h /c                        |
      | config get                             | config get                          |
    Then both print the same, an earlier name that differs names the present one, and it is "commands"

  Scenario: The storage commands by both names
    Given a controller's folder
    Then storage check, show and export answer alike under their earlier name
