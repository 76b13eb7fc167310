/**
Freshness reports that wait at the receiving gateway because its event loop is busy. Their
age must include that time; otherwise the gateway takes old data for newer than it is.
*/
import {test} from 'tap';
import {LoneGateway} from '../support/lone-gateway.js';
import {playDays} from '../support/play-days.js';

const {reader, target, listOf, freshOf} = LoneGateway;

test('the age of a report that waited for a busy event loop counts from when the peer sent it', async t => {
	const {time, gateway, say} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 101));
	await time.run(3010);
	say(reader, freshOf([target('a')], 102));
	gateway.freeze(900, false);
	await time.run(4000);
	t.ok(gateway.beliefs.readAt <= 3011, `reported as current at 3010, recorded as current at ${gateway.beliefs.readAt}`);
	gateway.kill();
});

test('targets with expired entries are not dropped early because of a delayed report', async t => {
	const violations = await playDays([137]);
	t.strictSame(violations, []);
});
