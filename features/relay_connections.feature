Feature: A follower leaves a reader of the store that sends what does not end

  Guards against a follower that stays with a reader which it has given up on, as that one sends on.

  Scenario Outline: A follower stays with a reader that sends <what> without end
    Given a reader of the store that sends "<what>" without end
    When a node follows it
    Then it is lost within 2 s, and the process has grown by at most 48 MB

    Examples: in place of a head, or in it
      | what                    |
      | interim answers         |
      | header line             |
      | header lines            |
      | header lines of 101     |
      | bytes that are not HTTP |
      | body                    |

    Examples: on the connection
      | what                    |
      | pings                   |
      | large pings             |
      | pongs                   |
      | texts                   |
      | one message             |
      | fragments               |
      | empty fragments         |
      | other bytes             |
