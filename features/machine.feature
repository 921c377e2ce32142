Feature: State machine of one request, event by event

  Scenario: A broken stream is resumed on the same attempt, without gaps or repeated tokens
    Given a request of 4 tokens
    When it is started
    And tokens 0 to 1 arrive
    And the connection breaks
    Then the attempt is resumed from index 2
    When tokens 1 to 3 arrive
    And the attempt finishes with 4 tokens
    Then it completed with tokens 0 to 3 in order
    And 1 chunk was dropped as repeated

  Scenario: A stream continues on another engine with the same weights when its engine is lost
    Given a request of 4 tokens
    When it is started
    And tokens 0 to 1 arrive
    And the connection breaks
    And the resume is refused
    Then a new attempt starts at index 2 with the same weights on another engine
    When tokens 2 to 3 arrive
    And the attempt finishes with 2 tokens
    Then it completed with tokens 0 to 3 in order

  Scenario: A gap in the stream is fetched again instead of delivered
    Given a request of 4 tokens
    When it is started
    And token 1 arrives
    Then the attempt is resumed from index 0

  Scenario: A non-repeatable request is not sent again once it may have run
    Given a non-repeatable request of 4 tokens
    When it is started
    And the connection breaks
    And the resume is refused
    Then it ended as unknown with code 3001

  Scenario: A request that an engine refused without running it is sent to another engine
    Given a non-repeatable request of 4 tokens
    When it is started
    And the engine refuses it as leaving
    Then a new attempt starts at index 0 with the same weights on another engine

  Scenario: A request that all engines refuse ends as not run
    Given a request of 4 tokens
    When it is started
    And every engine refuses it
    Then it ended as not-run with code 2007

  Scenario: Without retry budget a refused request ends immediately
    Given a request of 4 tokens
    And no retry budget
    When it is started
    And the engine refuses it as overloaded
    Then it ended as not-run with code 2008

  Scenario: A request whose deadline passes before any attempt ends as not run
    Given a request of 4 tokens
    And all engines are busy
    When it is started
    Then it waits for an engine
    When the deadline passes
    Then it ended as not-run with code 2005

  Scenario: A deadline that passes during an attempt cancels the attempt
    Given a request of 4 tokens
    When it is started
    And the deadline passes
    Then the attempt is cancelled
    And it ended as unknown with code 3002

  Scenario: Chunks of other requests and chunks after the end are dropped and counted
    Given a request of 1 tokens
    When it is started
    And a token of another request arrives
    And tokens 0 to 0 arrive
    And the attempt finishes with 1 tokens
    And tokens 0 to 0 arrive
    Then it completed with tokens 0 to 0 in order
    And 1 chunk was dropped as foreign
    And 1 chunk was dropped as after_end

  Scenario: Random event sequences violate no rule
    Then 400 random event sequences of a request violate no rule
