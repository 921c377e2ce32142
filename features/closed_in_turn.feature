Feature: A server that closes its connections before its process ends has not completed its answers

  Guards against answers that end with their connection, and are taken for complete because their
  engine still replied when it had closed the connection.

  Scenario Outline: An engine that closed all connections at once is taken for one that completed its answers: <how>, <route>, <start>
    Given 2 model engines in processes of their own, whose answers end with their connection, and whose records name <start>
    When 24 streams on "<route>" begin within 0.68 s, and an engine is <how>
    Then none of the streams that it cut short looks complete
    And no other stream broke off
    And <others> is whole

    Examples:
      | how | route | others | start |
      | shut down, its port last | stream | no further one | a start time |
      | shut down, its port last | stream | no further one | no start time |
      | shut down, its port last | resume | each stream | a start time |
      | shut down, its port last | resume | each stream | no start time |
      | shut down at once | stream | no further one | a start time |
      | shut down at once | stream | no further one | no start time |
      | shut down at once | resume | each stream | a start time |
      | shut down at once | resume | each stream | no start time |
      | stopped and killed | stream | no further one | a start time |
      | stopped and killed | stream | no further one | no start time |
      | stopped and killed | resume | each stream | a start time |
      | stopped and killed | resume | each stream | no start time |

  Scenario Outline: An engine that still replies is taken for one that completed its answers: <how>, <route>, <start>
    Given 2 model engines in processes of their own, whose answers end with their connection, and whose records name <start>
    When 24 streams on "<route>" begin within 0.68 s, and an engine is <how>
    Then none of the streams that it cut short looks complete, but those that were closed right after their last bytes before their node saw another sign
    And no other stream broke off
    And <others> is whole

    Examples:
      | how | route | others | start |
      | shut down, one connection after the other | stream | no further one | a start time |
      | shut down, one connection after the other | stream | no further one | no start time |
      | shut down, one connection after the other | resume | each stream | a start time |
      | shut down, one connection after the other | resume | each stream | no start time |
      | shut down after four connections | stream | no further one | a start time |
      | shut down after four connections | stream | no further one | no start time |
      | shut down after four connections | resume | each stream | a start time |
      | shut down after four connections | resume | each stream | no start time |

  Scenario Outline: One of an engine's processes ends, and the others reply for it: <route>, <start>
    Given 2 model engines in processes of their own, whose answers end with their connection, and that have four workers, and whose records name <start>
    When 48 streams on "<route>" begin within 1.36 s, and an engine is killed
    Then none of the streams that it cut short looks complete
    And no other stream broke off
    And <others> is whole

    Examples:
      | route  | others | start         |
      | resume | each stream | a start time  |
      | resume | each stream | no start time |

  Scenario Outline: Sound answers that end at the same time break off as their nodes are busy: <route>
    Given 2 model engines in processes of their own that close connections right after the last bytes, and whose reports take 0 s
    When 160 streams on "<route>" begin within 0.02 s
    Then all 160 streams end as complete after their last event

    Examples:
      | route  |
      | stream |
      | resume |

  Scenario Outline: The ends of sound answers are doubted: <route>, reports take <seconds> s
    Given 2 model engines in processes of their own that close connections right after the last bytes, and whose reports take <seconds> s
    When 400 streams on "<route>" begin within 8 s
    Then all 400 streams end as complete after their last event
    And 99 of 100 ends of streams are delayed by <most> ms at most

    Examples:
      | route  | seconds | most |
      | stream | 0       | 20   |
      | resume | 0       | 20   |
      | stream | 0.3     | 350  |
      | stream | 1       | 1050 |
