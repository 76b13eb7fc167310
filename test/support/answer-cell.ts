/**
Ways in which a target may answer one request on a kept connection: what it writes besides its
answer, where, how the answer is framed, and how it ends.
*/

/** Who answers; a prefill engine answers the gateway itself. */
const speakers = ['plain target', 'engine', 'prefill engine'] as const;
/** Up to where the target's own answer has come when something else is written, or it ends. */
const places = ['idle connection', 'before the head', 'inside the head', 'between head and body', 'inside the body', 'after the whole answer'] as const;
const intrusions = ['nothing', 'the earlier answer again', 'an earlier refusal without an id', 'an earlier refusal again', 'an answer of another request', 'an answer without an id', 'interim answers', 'garbage'] as const;
const framings = ['length', 'chunks', 'neither', 'length too small', 'length too large'] as const;
/** `goes on` writes the rest of the answer. */
const endings = ['goes on', 'close', 'reset', 'silence'] as const;

type AnswerCell = {
	readonly speaker: typeof speakers[number];
	readonly place: typeof places[number];
	readonly intrusion: typeof intrusions[number];
	readonly framing: typeof framings[number];
	readonly ending: typeof endings[number];
};

type Rule = {readonly reason: string; readonly excludes: (cell: AnswerCell) => boolean};

const isInBody = ({place}: AnswerCell): boolean => place === 'between head and body' || place === 'inside the body';

/** Cells that cannot be, or that say the same as another one. */
const rules: readonly Rule[] = [
	{
		reason: 'a body with a length, or that ends with its connection, consists of all that comes, so nothing else can be in it',
		excludes: cell => isInBody(cell) && cell.intrusion !== 'nothing' && cell.framing !== 'chunks',
	},
	{
		reason: 'an answer with neither length nor chunks ends with its connection, so only its target knows whether it is whole',
		excludes: cell => cell.framing === 'neither' && isInBody(cell) && cell.ending === 'close' && cell.speaker !== 'engine',
	},
	{
		reason: 'what follows an answer that has no length, or one that is too large, is part of it',
		excludes: cell => (cell.framing === 'neither' || cell.framing === 'length too large') && cell.place === 'after the whole answer' && cell.intrusion !== 'nothing',
	},
	{
		reason: 'the framing of an answer whose head never comes whole does not matter',
		excludes: cell => ['idle connection', 'before the head', 'inside the head'].includes(cell.place) && cell.ending !== 'goes on' && cell.framing !== 'length',
	},
	{
		reason: 'what comes inside a head or before it and is no answer spoils the head, whatever its framing',
		excludes: cell => cell.place === 'inside the head' && cell.intrusion !== 'nothing' && cell.framing !== 'length',
	},
	{
		reason: 'a target that breaks off is not one that goes on',
		excludes: cell => cell.intrusion === 'nothing' && cell.ending === 'goes on' && cell.place !== 'after the whole answer',
	},
];

const all: readonly AnswerCell[] = speakers.flatMap(speaker => places.flatMap(place => intrusions.flatMap(intrusion => framings.flatMap(framing => endings.map(ending => ({
	speaker, place, intrusion, framing, ending,
}))))));

/**
All cells that can be, and how many each rule excludes.

@example
```
const {cells, excluded} = answerCells;
```
*/
export const answerCells = {
	cells: all.filter(cell => !rules.some(({excludes}) => excludes(cell))),
	excluded: rules.map(({reason, excludes}) => ({reason, count: all.filter(cell => excludes(cell)).length})),
};
