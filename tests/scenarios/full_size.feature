Feature: Requests through a system of the users' size
  Callers get complete responses to their own requests.

  Background:
    Given 3 domains with 3 entries each, 5 control replicas and 20, 7 and 6 servers

  Scenario: Answers to a mixed load through all entries
    When 12 callers send 2400 enquiries, orders and downloads over all entries
    Then each response is complete and belongs to its request
    And no order ran twice and each order with a successful response ran
    And no order that was reported as not run ran
    And no key had two owners

  Scenario: No request of a mixed load fails
    When 12 callers send 2400 enquiries, orders and downloads over all entries
    Then no request failed
