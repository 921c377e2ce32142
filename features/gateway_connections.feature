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
