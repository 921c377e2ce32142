Feature: A node knows the age of its copy of the store after a gap in the watch

  Draining engines got requests 2.0 to 2.5 s after the change, and replaced weights were used for
  seconds too long. All watches had delivered nothing for a second, and were then cut at the same
  time. Each node took one failed call for an unavailable store and followed another node, which
  followed a third one or the first: within 0.21 s eight nodes logged "connected: true, at: 17",
  although that revision was old and no node read the store. This ended only when the oldest proof
  was 2.6 s old ("its proof is 2.7 s old"), and that proof covered the configuration alone. The grace
  of versions that were found then started at the time of the read.

  Background:
    Given a stand-in platform with 2 desk engines and 1 model engines
    And bounds of 4 s for replaced weights
    And 3 nodes

  Scenario: Nodes whose watches are cut at the same time read the store instead of following each other
    Given callers that call all nodes on "whole"
    When the watches get no changes for 1 s, during which an engine starts to drain, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change

  Scenario: A watch that delivers nothing is detected by a read that returns a later revision
    Given callers that call all nodes on "whole"
    When the watches stop delivering changes, and an engine starts to drain
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change

  Scenario: The grace of a version found after a gap starts when the copy was last complete
    Given engines that refuse all load orders
    And callers that call all nodes on "stream"
    When the watches get no changes for 1.7 s, during which new weights are published, and are cut
    And callers go on for 5 s
    Then no request began on the older weights later than 4 s after the publication
    And requests began on the older weights after the publication

  Scenario: An engine whose record is removed during a gap of the watch is no longer used
    Given callers that call all nodes on "whole"
    When the watches get no changes for 1 s, during which an engine's record is removed, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change

  Scenario: An engine whose record expires during an outage of the store stays in use
    Given callers that call all nodes on "whole"
    When the store is unavailable for 2.6 s, during which an engine's record is removed, and the record is back 1 s later
    And callers go on for 1 s
    Then requests reached that engine in each of these seconds

  Scenario: Connections that stop responding while new ones work do not hide a draining engine
    Given callers that call all nodes on "whole"
    When the open connections to the store stop responding, and 0.5 s later an engine starts to drain
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change
