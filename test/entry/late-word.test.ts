/**
The age of what a gateway is told.
*/
import {test} from 'tap';
import {LoneGateway} from '../support/lone-gateway.js';
import {playDays} from '../support/play-days.js';

const {reader, target, listOf, freshOf} = LoneGateway;

test('a word that waited before a busy loop is as old as the time since it was given', async t => {
	const {time, gateway, say} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 101));
	await time.run(3010);
	say(reader, freshOf([target('a')], 102));
	gateway.freeze(900, false);
	await time.run(4000);
	t.ok(gateway.beliefs.readAt <= 3011, `said to hold at 3010, taken to hold at ${gateway.beliefs.readAt}`);
	gateway.kill();
});

test('lapsed targets are not dropped early on a word that waited', async t => {
	const violations = await playDays([137]);
	t.strictSame(violations, []);
});
