from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import command
from pomelostair import declaration
from pomelostair import errors
from pomelostair import messages

TEXT = (
    "tasks where kind = and drain worker within 30 s stop site set "
    'limit batch_share 0.5 shed to 40 % "q declare dead plan why'
)
WORDS = TEXT.split()

names = strategies.text(min_size=1, max_size=30)
durations = strategies.integers(1, command.MAX_DURATION_MS)
kinds = strategies.sampled_from(declaration.TargetKind)
numbers = strategies.floats(0, 1e9)


@strategies.composite
def queries(draw):
    noun = draw(strategies.sampled_from(command.Noun))
    condition = strategies.builds(
        command.Condition,
        strategies.sampled_from(command.COLUMNS[noun]),
        strategies.sampled_from(command.Operator),
        strategies.text(max_size=30),
    )
    where = draw(strategies.lists(condition, max_size=3))
    return command.Show(noun, tuple(where))


sentences = strategies.one_of(
    queries(),
    strategies.builds(command.Why, names),
    strategies.builds(
        command.SetLimit,
        strategies.sampled_from(("batch_share", "class_weights")),
        strategies.lists(numbers, min_size=1, max_size=4).map(tuple),
    ),
    strategies.builds(
        command.SetUrgency, names, strategies.sampled_from(messages.Urgency)
    ),
    strategies.builds(command.Drain, kinds, names, durations),
    strategies.builds(command.Undrain, kinds, names),
    strategies.builds(command.Stop, durations, strategies.booleans()),
    strategies.builds(
        command.Shed,
        strategies.floats(0, 100),
        strategies.none() | durations,
        strategies.booleans(),
    ),
    strategies.builds(command.DeclareDead, names),
    strategies.just(command.Resume()),
    strategies.just(command.ConfigStatus()),
    strategies.just(command.StopStatus()),
)


class TestParse:
    @given(sentences)
    @example(command.Drain(declaration.TargetKind.WORKER, "within", 1))
    @example(command.DeclareDead("dead"))
    def test_printed_sentence_parses_to_itself(self, sentence):
        assert command.parse(command.format_sentence(sentence)) == sentence

    @given(strategies.text(max_size=60))
    def test_any_text_is_a_sentence_or_an_error(self, text):
        try:
            command.parse(text)
        except errors.CommandError as error:
            assert 1 <= error.column <= len(text) + 1
            assert error.remedy

    @given(strategies.data())
    def test_any_words_are_a_sentence_or_an_error(self, data):
        words = data.draw(strategies.lists(strategies.sampled_from(WORDS)))
        text = data.draw(strategies.sampled_from((" ", "", "\t"))).join(words)
        try:
            sentence = command.parse(text)
        except errors.CommandError as error:
            assert error.remedy
        else:
            assert command.parse(command.format_sentence(sentence)) == sentence

    @pytest.mark.parametrize(
        ("text", "column", "word", "remedy"),
        [
            ("drain wroker x within 3 s", 7, "wroker", "worker or minion"),
            ("stop site within 20", 20, "", "unit"),
            ("stop site within 20 lightyears", 21, "lightyears", "unit"),
            ("shed to 400 %", 9, "400", "100 %"),
            ("tasks where colour = red", 13, "colour", "kind"),
            ("set limit foo 3", 11, "foo", "batch_share"),
            ("set urgency wear-watch now", 24, "now", "critical"),
            ("drainworker x within 3 s", 1, "drainworker", "drain"),
            ("resume site now", 13, "now", "end of the sentence"),
            ("why", 4, "", "name"),
            ("", 1, "", "tasks"),
        ],
    )
    def test_error_names_column_and_word(self, text, column, word, remedy):
        with pytest.raises(errors.CommandError) as caught:
            command.parse(text)
        assert (caught.value.column, caught.value.word) == (column, word)
        assert remedy in caught.value.remedy

    def test_too_long_text_is_rejected(self):
        with pytest.raises(errors.CommandError, match="characters"):
            command.parse("why " + "x" * command.MAX_CHARACTERS)


class TestComplete:
    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("drain", ("minion", "worker")),
            ("stop", ("site", "status")),
            ("stop site within 20", ("h", "m", "ms", "s")),
            ("nonsense", ()),
        ],
    )
    def test_words_that_can_follow(self, text, words):
        assert command.complete(text) == words


class TestSelect:
    def test_numbers_compare_as_numbers(self):
        rows = [{"id": "a", "attempt": 9}, {"id": "b", "attempt": 10}]
        sentence = command.parse("tasks where attempt >= 10")
        assert command.select(rows, sentence.where) == [rows[1]]

    def test_row_must_satisfy_all_conditions(self):
        rows = [{"id": "a", "kind": "x"}, {"id": "b", "kind": "x"}]
        sentence = command.parse("tasks where kind = x and id != a")
        assert command.select(rows, sentence.where) == [rows[1]]
