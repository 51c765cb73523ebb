Feature: G7, a graceful shutdown aborts no requests

  Background:
    Given a domain with 3 entries, 3 control replicas and servers of each kind

  Scenario: SIGTERM of an entry with a download, an order and heartbeats in flight
    When a download and an order are in flight through the second entry
    And the second entry gets SIGTERM
    Then the download and the order get complete responses
    And the entry exits with status 0
    And the order ran once
    And all sample keys are served by the other entries

  Scenario: A second SIGTERM ends an entry at once
    When a download and an order are in flight through the third entry
    And the third entry gets SIGTERM twice
    Then the entry exits with status 1

  Scenario: SIGTERM of the control leader
    When the control leader gets SIGTERM
    Then it exits with status 0
    And another replica leads and accepts a change
