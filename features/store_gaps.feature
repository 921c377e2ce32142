Feature: What a node heard of the store grows old, and the node knows how old

  Engines that had said that they leave still got requests 2.0 to 2.5 s later, and weights were
  used for seconds beyond their time. In the second before, the store's watches had told
  nothing, and had then been cut on all nodes at the same time. Each node took one lost call for
  a lost store and followed another node, which followed a third or the first one: the lines
  said "connected: true, at: 17" on all eight nodes within 0.21 s, although the revision was the
  old one and nobody read the store. It ended when the oldest proof was 2.6 s old ("its proof is
  2.7 s old"), and that proof was of the configuration alone. What was found then counted from the
  moment of reading.

  Background:
    Given a stand-in platform with 2 desk engines and 1 model engines
    And bounds of 4 s for replaced weights
    And 3 nodes

  Scenario: Nodes whose watches are cut together read the store, and do not follow each other
    Given callers that call all nodes on "whole"
    When the watches hear nothing for 1 s, in which an engine says that it leaves, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word

  Scenario: A watch that has gone deaf is found out by a reading that names a later revision
    Given callers that call all nodes on "whole"
    When the watches go deaf, and an engine says that it leaves
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word

  Scenario: A version that is found after a gap counts from the last time the copy was whole
    Given engines that take no orders
    And callers that call all nodes on "stream"
    When the watches hear nothing for 1.7 s, in which new weights are named, and are cut
    And callers go on for 5 s
    Then no request began on the older weights later than 4 s after the naming
    And requests began on them after it

  Scenario: An engine whose record goes in a gap of the watch alone is used no longer
    Given callers that call all nodes on "whole"
    When the watches hear nothing for 1 s, in which an engine's record goes, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word

  Scenario: An engine whose record lapses while the store is away is used until it is back
    Given callers that call all nodes on "whole"
    When the store is away for 2.6 s, in which an engine's record goes, and it is back 1 s later
    And callers go on for 1 s
    Then requests reached that engine in each of these seconds

  Scenario: Connections that go silent while new ones work hide an engine's leaving from nobody
    Given callers that call all nodes on "whole"
    When the open connections to the store go silent, and 0.5 s later an engine says that it leaves
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word
