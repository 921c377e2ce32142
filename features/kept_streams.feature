Feature: Streams whose engine takes no new connections for a moment

  Guards against a connect that times out and ends the streams that run over established
  connections, though no other engine can take them.

  Scenario: A connect that times out ends the streams that no other engine can take
    Given a stand-in platform with 1 desk engines and 1 model engines
    And model engines that send 5 events, 0.6 s apart
    And 1 nodes whose links to engines can be cut
    When 6 resumable streams run, and no new connection is taken for 0.7 s as 12 more begin
    Then the callers of all 6 streams got them whole, and each ran once
    And a link went down, and was restored within 1.5 s of the end

  Scenario: Streams that another engine can take stay on a link that is down
    Given a stand-in platform with 1 desk engines and 2 model engines
    And model engines that send 5 events, 0.6 s apart
    And 1 nodes whose links to engines can be cut
    When 6 resumable streams run, and links of the engine with most hang for 4 s
    Then the callers of all 6 streams got them whole

  Scenario Outline: A request is taken off a link that is down though it cannot go on elsewhere
    Given an <kind>, with <attempts> attempts
    When it starts
    Then it <leaves> a link that goes down, while <engines> ready

    Examples:
      | kind                     | attempts | engines    | leaves    |
      | resumable stream request | 2        | others are | may leave |
      | resumable stream request | 2        | none are   | stays on  |
      | resumable stream request | 1        | others are | stays on  |
      | stream request           | 2        | others are | stays on  |
      | idempotent request       | 2        | others are | may leave |
      | idempotent request       | 2        | none are   | stays on  |
