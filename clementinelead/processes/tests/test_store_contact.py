import loguru
import pytest

from clementinelead.processes import store_contact


@pytest.fixture
def lines():
    """Returns the log lines of the test: event and bound values."""
    recorded = []
    sink = loguru.logger.add(
        lambda line: recorded.append(
            (line.record["message"], line.record["extra"])
        )
    )
    yield recorded
    loguru.logger.remove(sink)


def test_loss_and_return_of_the_store_are_logged_once_with_the_answer_age(
    lines,
):
    contact = store_contact.StoreContact(10.0)
    contact.on_answer(3, 11.0)
    contact.on_failure("deadline", 3, 13.5)
    contact.on_failure("status 503", 3, 14.0)
    contact.on_answer(4, 15.0)
    contact.on_answer(4, 16.0)
    assert [
        (event, values["version"], values["answered_s_ago"])
        for event, values in lines
    ] == [("dependency lost", 3, 2.5), ("dependency regained", 4, 4.0)]
    assert contact.counts.by_cause == {"answered": 3, "failed": 2}


def test_answer_age_rises_until_the_next_answer():
    contact = store_contact.StoreContact(10.0)
    assert contact.answer_age_s(12.0) == 2.0
    contact.on_failure("deadline", 3, 12.0)
    assert contact.answer_age_s(13.0) == 3.0
    contact.on_answer(3, 13.0)
    assert contact.answer_age_s(13.5) == 0.5
