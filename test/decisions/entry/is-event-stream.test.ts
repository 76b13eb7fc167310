/**
Which answers of engines are streams of events.
*/
import {test} from 'tap';
import {isEventStream} from '../../../source/decisions/entry/answers/is-event-stream.js';

test('a success is a stream unless it says that it is something else, or has no content', t => {
	const stream = {'content-type': 'text/event-stream'};
	t.ok(isEventStream({status: 200, headers: stream}));
	t.ok(isEventStream({status: 200, headers: {'content-type': 'Text/Event-Stream; charset=utf-8'}}));
	t.ok(isEventStream({status: 200, headers: {}}));
	t.notOk(isEventStream({status: 200, headers: {'content-type': 'application/json'}}));
	for (const status of [204, 302, 404, 429, 500]) {
		t.notOk(isEventStream({status, headers: stream}));
	}

	t.end();
});
