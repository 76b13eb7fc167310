/**
Passes an answer on to its caller as it arrives, byte for byte.
*/
import type {AnswerSink} from './answer-sink.js';
import type {CallerAnswer} from './caller-answer.js';

/**
Returns a sink that starts the caller's answer with the head that it gets.

@example
```
sender.send({...plan, spill: () => passOnTo(request.answer)});
```
*/
export const passOnTo = (answer: Pick<CallerAnswer, 'start' | 'write'>): AnswerSink => ({
	head(head) {
		answer.start(head);
	},
	data(chunk, flow) {
		answer.write(chunk, flow);
	},
});
