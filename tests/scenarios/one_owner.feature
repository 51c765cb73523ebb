Feature: G1, a key has at most one owning server
  Servers and processes freeze, die and return in a domain that is under load.

  Background:
    Given a domain with 3 entries and 4 key-owning servers under a load of enquiries

  Scenario: A server frozen past its term
    When the owner of "roll-1" is frozen
    Then another server answers for "roll-1"
    When the frozen server goes on
    Then it refuses its old fence as not run
    And enquiries are answered again
    And no key had two owners

  Scenario: An entry frozen with an old view
    When an entry that is not the coordinator is frozen
    And the owner of "roll-2" is killed
    Then another server answers for "roll-2"
    When a caller asks the frozen entry for "roll-2" and the entry goes on
    Then the caller gets the answer of the present owner
    When the killed server is started again
    Then enquiries are answered again
    And no key had two owners

  Scenario: The coordinator is killed
    When the coordinator is killed
    Then another entry becomes coordinator
    And enquiries are answered again
    When the killed entry is started again
    Then enquiries are answered again
    And no key had two owners

  Scenario: The coordinator is frozen and returns
    When the coordinator is frozen
    Then another entry becomes coordinator
    And enquiries are answered again
    When the frozen entry goes on
    Then enquiries are answered again
    And no key had two owners

  Scenario: A server restarted under the same name
    When the owner of "roll-3" is killed and started again at once
    Then enquiries are answered again
    And no key had two owners

  Scenario: The load saw only its own answers
    When the load ends
    Then each answer is whole and the caller's own
    And no key had two owners

  Scenario: All keys are served after a fast load
    When 8 callers send 2000 enquiries without a pause
    Then all sample keys are served
    And no key had two owners
