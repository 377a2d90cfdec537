import logging
import pathlib
import re

from pomelostair import events

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "EVENTS.md"
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (\w+) \| ([^|]+) \| ([^|]+) \|")


def rows():
    return [
        match.groups()
        for match in map(ROW.fullmatch, PAGE.read_text().splitlines())
        if match
    ]


class TestEvents:
    def test_numbers_are_unique(self):
        numbers = [event.value.number for event in events.Events]
        assert len(numbers) == len(set(numbers))

    def test_page_lists_exactly_the_catalogue(self):
        listed = {row[:4] for row in rows()}
        catalogue = {
            (
                str(event.value.number),
                event.name,
                logging.getLevelName(event.value.level),
                event.value.text,
            )
            for event in events.Events
        }
        assert listed == catalogue

    def test_page_says_what_to_do(self):
        assert all(len(row[4].strip()) > 3 for row in rows())
