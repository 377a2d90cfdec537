import hypothesis
from hypothesis import strategies
import pytest

from pomelostair import endpoints


class TestSplit:
    def test_address_and_port(self):
        assert endpoints.split("10.0.0.1:80") == ("10.0.0.1", 80)

    @hypothesis.given(strategies.text(max_size=12))
    def test_any_text_is_split_or_raises_value_error(self, text):
        try:
            _, port = endpoints.split(text)
        except ValueError:
            return
        assert 0 <= port <= endpoints.MAX_PORT


class TestIsReachable:
    @pytest.mark.parametrize(
        ("endpoint", "reachable"),
        [
            ("10.0.0.1:80", True),
            ("10.0.0.1:65535", True),
            ("10.0.0.1:65536", False),
            ("10.0.0.1:0", False),
            ("10.0.0.1:000000080", False),
            ("0.0.0.0:80", False),
            ("host:80", False),
            ("10.0.0.1", False),
        ],
    )
    def test_form(self, endpoint, reachable):
        assert endpoints.is_reachable(endpoint) == reachable
