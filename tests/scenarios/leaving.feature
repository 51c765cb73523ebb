Feature: G6, a leaving server gets no new work, and moves and takeovers meet their time limits

  Background:
    Given a domain with 3 entries, 4 key-owning, 3 order and 2 download servers

  Scenario: An operator drains servers under load
    When an operator drains a server of each kind under a mixed load
    Then the drained servers get no new work after 3 s
    And no request failed
    And each response is complete and belongs to its request
    And each planned move took less than 100 ms without an owner
    And no key had two owners

  Scenario: A server leaves by itself under load
    When a server of each kind gets SIGTERM under a mixed load
    Then each of them exits with status 0
    And no request failed
    And no order ran twice

  Scenario: Loss of a key-owning server
    When a key-owning server is killed by SIGKILL
    Then all its keys are served again within 1 s of the kill
    And no key had two owners
