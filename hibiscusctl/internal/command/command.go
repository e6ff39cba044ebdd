// Package command is the operators' command line: it checks, compares and
// applies declarations, takes parts of the fleet out of service and back, and
// shows the state of hosts.
package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusctl/internal/explain"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2 // the declaration or the command line is wrong
	exitWaiting  = 3 // accepted, not yet in force everywhere
	exitRace     = 4 // somebody else's change came first
	exitNoStory  = 5 // no line names the request
)

// A run is one use of the command line.
type run struct {
	out, err io.Writer
	hosts    string
	key      string
	author   string
	reason   string
	until    string
	wait     time.Duration
	files    string
	kind     string
	name     string
}

// Run carries out the command and returns the exit status.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	r := &run{out: out, err: errs, wait: 30 * time.Second, author: os.Getenv("USER"), key: os.Getenv("HIBISCUS_OPERATOR_KEY")}
	parser := flaggy.NewParser("hibiscusctl")
	parser.Description = "declares and shows what a hibiscuslb fleet does"
	parser.String(&r.hosts, "n", "hosts", "operators' addresses of some hosts, separated by commas")
	parser.String(&r.key, "k", "key", "operators' key; the default is in HIBISCUS_OPERATOR_KEY")
	parser.String(&r.author, "a", "author", "who makes the change")
	parser.Duration(&r.wait, "w", "wait", "how long to wait until a change is in force")
	commands := r.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, err)
		return exitBadInput
	}
	for _, c := range commands {
		if c.sub.Used {
			return r.report(c.do(ctx))
		}
	}
	parser.ShowHelp()
	return exitBadInput
}

type command struct {
	sub *flaggy.Subcommand
	do  func(context.Context) error
}

func (r *run) commands(parser *flaggy.Parser) []command {
	add := func(name, description string, do func(context.Context) error) command {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		parser.AttachSubcommand(sub, 1)
		return command{sub, do}
	}
	check := add("check", "check declaration files without a fleet", r.check)
	diff := add("diff", "show what applying the files would change", r.diff)
	apply := add("apply", "make the files the fleet's declaration", r.apply)
	drain := add("drain", "take a data centre, host or target out of service", r.drain)
	undrain := add("undrain", "take it back into service", r.undrain)
	for _, c := range []command{check, diff, apply} {
		c.sub.AddPositionalValue(&r.files, "files", 1, true, "INI files, separated by commas")
	}
	for _, c := range []command{drain, undrain} {
		c.sub.AddPositionalValue(&r.kind, "kind", 1, true, "DataCentre, Host or Target")
		c.sub.AddPositionalValue(&r.name, "name", 2, true, "its name")
	}
	story := add("explain", "tell the story of a request from the logs of front hosts on standard input", r.explain)
	story.sub.AddPositionalValue(&r.name, "request", 1, true, "the request's id")
	hash := add("hash", "print the KeyHash of a caller key", r.hash)
	hash.sub.AddPositionalValue(&r.name, "key", 1, true, "the caller key")
	drain.sub.String(&r.reason, "r", "reason", "why, for those who read the exceptions")
	drain.sub.String(&r.until, "u", "until", "when it ends by itself, such as 2026-12-31T18:00:00Z")
	return []command{
		check, diff, apply, drain, undrain,
		hash, story,
		add("exceptions", "list the exceptions with their reasons", r.exceptions),
		add("status", "show hosts and targets", r.status),
	}
}

// report tells the error, if any, and returns the exit status for it.
func (r *run) report(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(r.err, err)
	var check *declaration.CheckError
	var waiting *operator.PendingError
	var status *operator.StatusError
	var unknown *explain.NotFoundError
	switch {
	case errors.As(err, &unknown):
		return exitNoStory
	case errors.As(err, &check):
		return exitBadInput
	case errors.As(err, &waiting):
		return exitWaiting
	case errors.As(err, &status) && status.Status == 409:
		return exitRace
	case errors.As(err, &status) && status.Status == 422:
		return exitBadInput
	default:
		return exitFailed
	}
}

func (r *run) client() *operator.Client {
	client := &operator.Client{Key: r.key}
	for address := range strings.SplitSeq(r.hosts, ",") {
		if address != "" {
			client.Hosts = append(client.Hosts, fleet.Address(address))
		}
	}
	return client
}

func (r *run) explain(context.Context) error { return explain.Explain(r.name, os.Stdin, r.out) }

// read parses the files into one document.
func (r *run) read() (declaration.Document, error) {
	whole := make(declaration.Document)
	for file := range strings.SplitSeq(r.files, ",") {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		document, err := declaration.Parse(file, text)
		if err != nil {
			return nil, err
		}
		for id, section := range document {
			if _, twice := whole[id]; twice {
				problem := declaration.Problem{File: file, Section: id, Detail: "stands in another file too"}
				return nil, &declaration.CheckError{Problems: []declaration.Problem{problem}}
			}
			whole[id] = section
		}
	}
	return whole, nil
}

func (r *run) check(context.Context) error {
	document, err := r.read()
	if err != nil {
		return err
	}
	if _, err := declaration.Build(document, time.Now()); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%d sections are good\n", len(document))
	return nil
}

func (r *run) hash(context.Context) error {
	fmt.Fprintf(r.out, "%x\n", cache.HashCallerKey(r.name))
	return nil
}

// planned is a change with the version that it is based on.
type planned struct {
	change declaration.Change
	read   fleet.Version
}

// plan compares the files with what is in force. Exceptions that are in force
// and not in the files stay, since they are made and dropped by drain and
// undrain.
func (r *run) plan(ctx context.Context) (planned, error) {
	wanted, err := r.read()
	if err != nil {
		return planned{}, err
	}
	current, number, err := r.client().Declaration(ctx)
	if err != nil {
		return planned{}, err
	}
	for id, section := range current {
		if _, named := wanted[id]; id.Kind == declaration.KindException && !named {
			wanted[id] = section
		}
	}
	return planned{declaration.Diff(current, wanted), number}, nil
}

func (r *run) diff(ctx context.Context) error {
	plan, err := r.plan(ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(r.out, plan.change.String())
	return nil
}

func (r *run) apply(ctx context.Context) error {
	plan, err := r.plan(ctx)
	if err != nil {
		return err
	}
	return r.commit(ctx, plan)
}

// commit stores a change and waits until it is in force.
func (r *run) commit(ctx context.Context, plan planned) error {
	if plan.change.Empty() {
		fmt.Fprintf(r.out, "version %d is in force and says the same\n", plan.read)
		return nil
	}
	plan.change.ID = declaration.ChangeID(rand.Text())
	plan.change.Author = r.author
	begun := time.Now()
	number, err := r.client().Apply(ctx, plan.read, plan.change)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "version %d is accepted\n", number)
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	if err := r.client().AwaitVersion(ctx, number); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "version %d is in force after %v\n", number, time.Since(begun).Round(time.Millisecond))
	return nil
}

func (r *run) subject() (declaration.SectionID, error) {
	subject := declaration.SectionID{Kind: declaration.Kind(r.kind), Name: r.name}
	switch subject.Kind {
	case declaration.KindDataCentre, declaration.KindHost, declaration.KindTarget, declaration.KindStore:
		return subject, nil
	default:
		return subject, fmt.Errorf("want DataCentre, Host, Target or Store, have %q", r.kind)
	}
}

// drainName names the exception that takes a subject out of service.
func drainName(subject declaration.SectionID) declaration.SectionID {
	name := fmt.Sprintf("drain-%s-%s", strings.ToLower(string(subject.Kind)), subject.Name)
	return declaration.SectionID{Kind: declaration.KindException, Name: name}
}

func (r *run) drain(ctx context.Context) error {
	subject, err := r.subject()
	if err != nil {
		return err
	}
	if r.reason == "" {
		return errors.New("an exception needs a --reason")
	}
	section := declaration.Section{ID: drainName(subject), Fields: []declaration.Field{
		{Key: "Reason", Text: r.reason},
		{Key: "State", Text: string(declaration.OutOfService)},
		{Key: "Subject", Text: string(subject.Kind) + " " + subject.Name},
	}}
	if r.until != "" {
		section.Fields = append(section.Fields, declaration.Field{Key: "Until", Text: r.until})
	}
	_, number, err := r.client().Declaration(ctx)
	if err != nil {
		return err
	}
	return r.commit(ctx, planned{declaration.Change{Put: []declaration.Section{section}}, number})
}

func (r *run) undrain(ctx context.Context) error {
	subject, err := r.subject()
	if err != nil {
		return err
	}
	current, number, err := r.client().Declaration(ctx)
	if err != nil {
		return err
	}
	if _, ok := current[drainName(subject)]; !ok {
		return fmt.Errorf("%s is not drained", subject)
	}
	return r.commit(ctx, planned{declaration.Change{Drop: []declaration.SectionID{drainName(subject)}}, number})
}
