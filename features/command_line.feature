Feature: The command line and the settings are checked

  Scenario Outline: <fault> gives one clear line and exit code 2
    Given a settings file with <fault>
    When the node is started with it
    Then it ends with exit code 2 and one line that names "<named>"

    Examples:
      | fault                 | named                  |
      | an unknown key        | colour                 |
      | a wrong address       | expected HOST:PORT     |
      | a missing key         | platform               |
      | a wrong policy        | expected one of        |
      | text that is no TOML  | not valid TOML         |
      | a negative grace time | drain_grace_seconds    |

  Scenario: A flag goes before the file and is named when it is wrong
    Given a settings file with nothing wrong
    When the node is started with it and --policy=best
    Then it ends with exit code 2 and one line that names "flag --policy"

  Scenario: Every command has help
    Then the help of every command reads well

  Scenario: The table of result codes is up to date
    Then docs/ERRORS.md is what liftrill errors prints

  Scenario: Scenario files refuse unknown keys
    Then a scenario file with an unknown key is refused by name

  Scenario: Every scenario and deployment file is valid
    Then every file under scenarios and deployments loads

  Scenario Outline: What became of a request is told from log files
    Given a log in which a request got an engine's 500 twice
    When liftrill is run with "<arguments>"
    Then it ends with <code> and says "<says>"

    Examples:
      | arguments                  | code | says                                     |
      | logs explain r1 LOG        | 0    | 2 engines failed, the last one e2        |
      | logs explain r1 LOG LOG    | 0    | with status 500                          |
      | logs explain other LOG     | 0    | no log lines for other                   |
      | logs summary LOG           | 0    | 1  served                                |
      | logs explain r1 MISSING    | 1    | No such file or directory                |
      | logs summary DIRECTORY     | 1    | Is a directory                           |
      | logs explain               | 2    | the following arguments are required     |
