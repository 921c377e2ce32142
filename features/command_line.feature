Feature: The command line, the settings and the bench files are validated

  Scenario Outline: <fault> gives a one-line error and exit code 2
    Given a settings file with <fault>
    When the node is started with it
    Then it exits with code 2 and one error line that names "<named>"

    Examples:
      | fault                   | named               |
      | an unknown key          | colour              |
      | a wrong address         | expected HOST:PORT  |
      | a missing key           | platform            |
      | a wrong policy          | expected one of     |
      | text that is not TOML   | not valid TOML      |
      | a negative grace period | drain_grace_seconds |

  Scenario: A flag overrides the settings file and is named when it is invalid
    Given a settings file with no fault
    When the node is started with it and --policy=best
    Then it exits with code 2 and one error line that names "flag --policy"

  Scenario: Every command prints help
    Then the help of every command has a usage line and a sentence

  Scenario: The table of result codes is up to date
    Then docs/ERRORS.md is what liftrill errors prints

  Scenario: A scenario file with an unknown key is refused
    Then a scenario file with an unknown key is refused with an error that names the key

  Scenario: Every scenario and deployment file is valid
    Then every file under scenarios and deployments loads

  Scenario Outline: The logs commands report the outcome of requests from log files
    Given a log with a request that engines answered with status 500 twice
    When liftrill is run with "<arguments>"
    Then it exits with <code> and prints "<output>"

    Examples:
      | arguments               | code | output                               |
      | logs explain r1 LOG     | 0    | 2 engines failed, the last one e2    |
      | logs explain r1 LOG LOG | 0    | with status 500                      |
      | logs explain other LOG  | 0    | no log lines for other               |
      | logs summary LOG        | 0    | 1  served                            |
      | logs explain r1 MISSING | 1    | No such file or directory            |
      | logs summary DIRECTORY  | 1    | Is a directory                       |
      | logs explain            | 2    | the following arguments are required |

  Scenario: A port at which a server listens on any loopback address is not free
    Given a server that listens at 127.0.1.1
    When a free port is asked for in a range that has its port alone
    Then the launcher reports that no port is free

  Scenario Outline: The workers of a test run use separate parts of its range of ports
    Then <workers> workers of a run with the ports <range> use "<parts>"

    Examples:
      | workers | range       | parts                                           |
      | 1       | 46000-46999 | 46000-46999                                     |
      | 4       | 46000-47999 | 46000-46499 46500-46999 47000-47499 47500-47999 |
      | 4       | 10000-29999 | 10000-11999 12000-13999 14000-15999 16000-17999 |

  Scenario: A process of a bench that does not listen in time is reported with its stack
    Given a process that listens at another address than its own
    When the launcher waits 4 s until it listens
    Then the error contains the stack of its main thread
    And the process has ended
