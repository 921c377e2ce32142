Feature: Idle connections to engines are reused for as long as the engine keeps them open

  Scenario Outline: A connection is reused until its keep-alive time is over
    Given an engine whose Keep-Alive header is "<header>"
    When two requests are sent to the engine, <pause> s apart
    Then the engine has accepted <connections> connections

    Examples:
      | header    | pause | connections |
      | timeout=1 | 0.3   | 1           |
      | timeout=1 | 0.9   | 2           |
      |           | 0.3   | 1           |

  Scenario Outline: The Keep-Alive header limits for how long an idle connection is reused
    Then a connection with the Keep-Alive header "<header>" is reused after up to <limit> s idle

    Examples:
      | header              | limit |
      | timeout=10          | 8     |
      | max=5, timeout=10   | 8     |
      | timeout=99999999999 | 30    |
      | timeout=0           | 0     |
      | timeout=x           | 3     |
      | timeout=-4          | 3     |
      |                     | 3     |

  Scenario Outline: The next request is given a second answer that came with the end of the first: <body>
    Given an engine whose body "<body>" comes after its head, with a second answer
    When two requests are sent one after the other
    Then each gets the first answer on a connection of its own

    Examples:
      | body            |
      | with a length   |
      | in chunks       |
      | without content |
