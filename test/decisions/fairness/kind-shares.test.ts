/**
Which prompts are neglected for their kind or size.
*/
import {test} from 'tap';
import {KindShares} from '../../../source/decisions/fairness/kind-shares.js';
import {SeededChance} from '../../support/seeded-chance.js';

const dossier = (tokens: number) => ({kind: 'dossier', priority: 1, tokens});
const question = {kind: 'question', priority: 0, tokens: 400};

test('SIZES: when the large prompts of a kind are served far less often than the kind, the next large one goes first', t => {
	const shares = new KindShares();
	const chance = new SeededChance(3);
	for (let index = 0; index < 400; index++) {
		const tokens = chance.between(1000, 20_000);
		shares.record(dossier(tokens), tokens < 17_000, index);
	}

	t.ok(shares.neglected(400)(dossier(19_900)));
	t.notOk(shares.neglected(400)(dossier(3000)), 'not the small ones');
	for (let index = 0; index < 200; index++) {
		shares.record(dossier(chance.between(1000, 20_000)), true, 10_000);
	}

	t.notOk(shares.neglected(10_000)(dossier(25_000)), 'only until enough were served');
	t.end();
});

test('KINDS: a kind that is served less often than a less urgent one goes first, and never the other way round', t => {
	const shares = new KindShares();
	for (let index = 0; index < 50; index++) {
		shares.record(dossier(5000), index % 10 > 0, 0);
		shares.record(question, index % 10 > 1, 0);
	}

	t.ok(shares.neglected(0)(question));
	for (let index = 0; index < 200; index++) {
		shares.record(question, true, 0);
	}

	t.notOk(shares.neglected(0)(question));
	t.notOk(shares.neglected(0)(dossier(1)), 'the less urgent kind has no claim against the more urgent one');
	t.end();
});

test('a kind precedes others only while a less urgent one is in use, so that late prompts of a single kind wait for spare capacity as before', t => {
	const shares = new KindShares();
	for (let index = 0; index < 50; index++) {
		shares.record(dossier(5000), true, 0);
	}

	t.notOk(shares.precedesOthers(1, 0));
	t.ok(shares.precedesOthers(0, 0));
	t.notOk(shares.precedesOthers(0, 60_000), 'a minute later no dossier was seen for long');
	t.end();
});

test('kinds are bounded, so that many routes do not fill the memory', t => {
	const shares = new KindShares();
	for (let index = 0; index < 1000; index++) {
		shares.record({kind: `kind-${index}`, priority: 1, tokens: 100}, false, 0);
	}

	t.notOk(shares.neglected(0)({kind: 'kind-900', priority: 1, tokens: 100}));
	t.end();
});
