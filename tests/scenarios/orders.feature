Feature: G4 and G5, orders run at most once and their outcome is reported correctly
  Orders are sent twice, and processes are frozen or killed while orders run.

  Background:
    Given a domain with 3 entries, 3 control replicas and 3 order servers

  Scenario: The same key through two entries at once
    When 40 orders are sent through two entries at the same time
    Then each of them ran once
    And both callers got the recorded response or an unknown outcome

  Scenario: Resent while the first entry is frozen after its claim
    When an order that takes 1500 ms runs through the first entry
    And the first entry is frozen
    And the caller resends the order through another entry
    Then the resent order gets 409 with outcome "unknown"
    When the first entry is resumed
    Then the first caller gets the response of the server
    And the order resent again gets the recorded response
    And the order ran once

  Scenario: An entry killed with an order in flight
    When an order that takes 1500 ms runs through the first entry
    And the first entry is killed
    And the caller resends the order through another entry
    Then the resent order gets 409 with outcome "unknown"
    And the order ran once
    When the first entry is started again
    Then orders are served by all entries

  Scenario: Another body under the same key
    When an order succeeds and another body is sent with its key
    Then the resent order gets 422 with outcome "not-run"
    And the order ran once

  Scenario: The control leader killed between claims
    When the control leader is killed while orders are sent
    Then orders that were reported as not run did not run
    And orders that are resent with their key until they succeed ran once
    When the killed replica is started again
    Then orders are served by all entries

  Scenario: No majority of control
    When two control replicas are killed
    And 6 orders with a key and 6 without are sent
    Then the orders with a key are refused with an unknown outcome and did not run
    And the orders without a key ran once
    When the killed replicas are started again
    Then orders are served by all entries
    And the refused orders still did not run
