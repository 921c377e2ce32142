Feature: Engine records in the store: invalid records, restarts and late updates

  Scenario: A record with a missing or mistyped field is invalid
    Given a node that knows engines a and b with the weights of version 1
    Then no random record of a with a field missing or of a wrong type leaves a in use
    And b stays in use

  Scenario Outline: An invalid record takes an engine out of use until the next valid one
    Given a node that knows engines a and b with the weights of version 1
    When the record of a is written again with <change>
    Then b alone is in use
    And one log line reports the record, and each write is counted
    When the record of a is written again as it was
    Then a and b are in use

    Examples:
      | change                            |
      | State = "resting"                 |
      | State = 5                         |
      | Slots = "8"                       |
      | Slots = true                      |
      | Slots = 0                         |
      | Address = "nowhere"               |
      | Address = "10.0.0.1:0"            |
      | Address = "10.0.0.1:70000"        |
      | Address = "10.0.0.1:0080801"      |
      | Address = "10.0.0.1:0000000080"   |
      | Address = "10.0.0.1:\u0668\u0660" |
      | Models = "m"                      |
      | Models = [{"Name": "m"}]          |
      | Models = []                       |
      | Version = 7                       |
      | SeqNo = NaN                       |
      | SeqNo = 9223372036854775808       |
      | born = "today"                    |
      | no Service                        |
      | no Address                        |
      | no Models                         |
      | a list as the record              |
      | bytes that are not UTF-8          |
      | deeply nested lists               |
      | a megabyte of spaces              |

  Scenario: An engine of a service that the configuration does not name gets no orders
    Given a node that knows engines a and b with the weights of version 1
    When the record of a is written again with Service = "another"
    And version 2 of the weights becomes the target
    Then b alone is in use
    And b alone is ordered to load

  Scenario: A record without a start time is invalid where other records have one
    Given a node that knows engines a and b with the weights of version 1
    When the record of a is written again with born = 1700000000000
    Then a alone is in use
    When the record of b is written again with born = 1700000000500
    Then a and b are in use

  Scenario Outline: An id that cannot be sent in a header names an engine: <id>
    Given a node that knows engines a and b with the weights of version 1
    When the sound record of an engine is written under the id <id>
    Then a and b are in use

    Examples:
      | id                        |
      | "c\r\nX-Other: 1"         |
      | "c\u0000"                 |
      | "c d"                     |
      | "\u00e4"                  |
      | ""                        |
      | 20000 times "c"           |

  Scenario Outline: One record with a start time withdraws all engines without one: <service>
    Given a node that knows engines a and b with the weights of version 1
    When a record of c with a start time is written, of "<service>"
    Then <engines> are in use
    When the record of c is removed
    Then a and b are in use

    Examples:
      | service   | engines    |
      | service-1 | a, b and c |
      | another   | a and b    |

  Scenario: An engine that restarts under its id is a new engine
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    And a has failed, holds prompt parts, and has requests of this node and others
    And a is loading version 2 of the weights
    When the record of a is written again with born = 1700000009000
    Then a and b are in use immediately
    And a has no prompt parts, requests, tokens or orders
    And the end of the previous incarnation of a is recorded as evidence against its requests
    When a peer reports late its load on the previous incarnation of a, and that a has loaded version 2
    Then a has no prompt parts, requests, tokens or orders
    And a has the weights of version 1

  Scenario: A late record from before the restart changes nothing
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    When the record of a is written again with born = 1700000009000
    And an older record of the previous incarnation of a arrives, with a as draining
    Then a and b are in use immediately

  Scenario: An earlier start time is a restart too
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    And a has failed, holds prompt parts, and has requests of this node and others
    When the record of a is written again with born = 1600000000000
    Then a and b are in use immediately
    And a has no prompt parts, requests, tokens or orders

  Scenario: A stream is not resumed at a backup that has restarted
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    And a stream ran at b with its backup at a
    Then it may be resumed at a
    When the record of a is written again with born = 1700000009000
    Then it may not be resumed at a
