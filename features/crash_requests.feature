# A caller came back every second or so with one request, under a new id and at another node each
# time, and each node sent it to an engine, which ended under it 50 to 90 ms later with all that ran
# there. No node knew the request again: what was remembered of an end was that an engine was lost,
# never under what. Ten engines ended in 14 s, and 71 attempts with them, in a fleet of nine: in each
# end one attempt had passed on no event yet ("attempts 1, last_event null, 86 ms, ENGINE_LOST"),
# whichever node it came from, and the eleven others lost with it had.
Feature: Requests under which engines end

  Background:
    Given 3 nodes before 6 model engines that end when they begin a certain request

  Scenario: A request under which engines end is sent to no more than three of them
    When it comes again at each node in turn for 6 s, beside other streams
    Then no more than 3 engines have ended
    And it was refused at once, with a true time to come back
    And no other request was refused for it

  Scenario: A request that nodes may send again is sent to no more than three engines either
    When it comes again at each node in turn as a resumable stream for 6 s, beside other streams
    Then no more than 3 engines have ended
    And no other request was refused for it
