Feature: G1, a key has at most one owning server
  Servers and entries of a domain under load are frozen, killed and restarted.

  Background:
    Given a domain with 3 entries and 4 key-owning servers under a load of enquiries

  Scenario: A server frozen past its term
    When the owner of "roll-1" is frozen
    Then another server serves "roll-1"
    When the frozen server is resumed
    Then it refuses a request with its old fence as not run
    And enquiries are served again
    And no key had two owners

  Scenario: An entry frozen with an old view
    When an entry that is not the coordinator is frozen
    And the owner of "roll-2" is killed
    Then another server serves "roll-2"
    When a caller sends an enquiry for "roll-2" to the frozen entry and the entry is resumed
    Then the caller gets the response of the current owner
    When the killed server is started again
    Then enquiries are served again
    And no key had two owners

  Scenario: The coordinator is killed
    When the coordinator is killed
    Then another entry becomes coordinator
    And enquiries are served again
    When the killed entry is started again
    Then enquiries are served again
    And no key had two owners

  Scenario: The coordinator is frozen and returns
    When the coordinator is frozen
    Then another entry becomes coordinator
    And enquiries are served again
    When the frozen entry is resumed
    Then enquiries are served again
    And no key had two owners

  Scenario: A server restarted under the same name
    When the owner of "roll-3" is killed and started again at once
    Then enquiries are served again
    And no key had two owners

  Scenario: The load saw only its own answers
    When the load ends
    Then each response is complete and belongs to its request
    And no key had two owners

  Scenario: All keys are served after a fast load
    When 8 callers send 2000 enquiries without a pause
    Then all sample keys are served
    And no key had two owners
